package io.bilberrylane.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueCheck;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.catalogue.RouteMatch;
import io.bilberrylane.catalogue.RunRule;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PlatformConfigurationFormatTest {
    private static final String SERVICES =
            "'services':[{'name':'a','healthPath':'/healthz','maxConnections':220,"
                    + "'coldStartS':3.0,'coldPerS':7.1},{'name':'b'}],";
    private static final String LIMITS =
            "'limits':{'maxHeaderBytes':16384,'maxBodyBytes':1000,'headerTimeoutS':3,"
                    + "'idleTimeoutS':1.5},";

    private final PlatformConfigurationFormat mFormat = new PlatformConfigurationFormat();

    private CatalogueCheck check(final String route) {
        final String text =
                "{'version':7,"
                        + SERVICES
                        + LIMITS
                        + "'virtualHosts':[{'host':'H.example','paths':["
                        + route
                        + "]}]}";
        return mFormat.check("test", text.replace('\'', '"'));
    }

    private static String route(final String remainingFields) {
        return "{'name':'r','pathPrefix':'/p/','type':'safe','timeoutS':1.5,"
                + "'targetLatencyS':0.5,'priority':2,'attempts':2,"
                + remainingFields
                + "}";
    }

    @Nested
    class ValidConfigurations {
        @Test
        void shouldConvertSecondsToMillisWhenARouteIsRead() {
            final Catalogue catalogue = check(route("'service':'a'")).orThrow();
            final Route route = catalogue.route("h.EXAMPLE:80", "/p/x").orElseThrow();
            assertThat(route.timeoutMillis()).isEqualTo(1_500);
            assertThat(route.objectiveMillis()).isEqualTo(500);
            assertThat(route.runRule()).isEqualTo(RunRule.REPEATABLE);
            assertThat(route.attempts()).isEqualTo(2);
            assertThat(route.selectService(0.99)).isEqualTo("a");
            assertThat(catalogue.callerLimits().idleTimeoutMillis()).isEqualTo(1_500);
            assertThat(catalogue.service("a").orElseThrow().targetParameters().coldRatePerSecond())
                    .isEqualTo(7.1);
        }

        @Test
        void shouldChooseTheLongestPrefixWhenSeveralMatch() {
            final String longer = route("'service':'b'").replace("/p/", "/p/q/");
            final Catalogue catalogue = check(route("'service':'a'") + "," + longer).orThrow();
            assertThat(catalogue.route("h.example", "/p/q/x").orElseThrow().selectService(0))
                    .isEqualTo("b");
            assertThat(catalogue.route("h.example", "/p/z").orElseThrow().selectService(0))
                    .isEqualTo("a");
            assertThat(catalogue.route("h.example", "/q/")).isEmpty();
            assertThat(catalogue.route("other.example", "/p/x")).isEmpty();
        }

        @Test
        void shouldSplitByWeight() {
            final Route route =
                    check(
                                    route(
                                            "'trafficSplit':[{'service':'a','weight':90},"
                                                    + "{'service':'b','weight':10}]"))
                            .orThrow()
                            .route("h.example", "/p/")
                            .orElseThrow();
            assertThat(route.selectService(0.89)).isEqualTo("a");
            assertThat(route.selectService(0.91)).isEqualTo("b");
        }

        @Test
        void shouldRepeatAndPreferNearTargetsWhenTheTypeIsDownload() {
            final CatalogueCheck check =
                    check(route("'service':'a'").replace("'safe'", "'download'"));
            final Route route = check.orThrow().route("h.example", "/p/").orElseThrow();
            assertThat(check.findings()).isEmpty();
            assertThat(route.runRule()).isEqualTo(RunRule.REPEATABLE);
            assertThat(route.largeResponses()).isTrue();
        }

        @Test
        void shouldIgnoreUnknownFields() {
            final CatalogueCheck check = check(route("'service':'a','novel':{'x':[1]}"));
            assertThat(check.findings()).isEmpty();
            assertThat(check.catalogue().route("h.example", "/p/")).isPresent();
        }

        @ParameterizedTest
        @ValueSource(strings = {"unsafe", "upload"})
        void shouldRunOnceWhenTheTypeIsNotRepeatable(final String type) {
            final Route route =
                    check(route("'service':'a'").replace("'safe'", "'" + type + "'"))
                            .orThrow()
                            .route("h.example", "/p/")
                            .orElseThrow();
            assertThat(route.runRule()).isEqualTo(RunRule.ONCE);
        }
    }

    @Nested
    class InvalidConfigurations {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "{'pathPrefix':'/p/','type':'safe','timeoutS':1e300,'service':'a'}",
                    "{'pathPrefix':'/p/','type':'safe','timeoutS':-1,'service':'a'}",
                    "{'pathPrefix':7,'type':'safe','timeoutS':1,'service':'a'}",
                    "'a string'",
                    "[]",
                    "{'pathPrefix':'/p/','type':'safe','service':'a'}",
                    "{'type':'safe','timeoutS':1,'service':'a'}",
                    "{'pathPrefix':'/p/','type':'safe','timeoutS':1}",
                    "{'pathPrefix':'/p/','type':'safe','timeoutS':1,"
                            + "'trafficSplit':[{'service':'a','weight':0}]}",
                })
        void shouldReportThePlaceWhenARouteIsInvalid(final String route) {
            final CatalogueCheck check = check(route);
            assertThat(check.isValid()).isFalse();
            assertThat(check.findings().get(0).line()).contains("virtualHosts[0] paths[0]");
        }

        @Test
        void shouldReportAFindingWhenTheTextIsNotJson() {
            final CatalogueCheck check = mFormat.check("test", "{\u0000");
            assertThat(check.isValid()).isFalse();
            assertThat(check.isApplicable()).isFalse();
        }

        @ParameterizedTest
        @ValueSource(strings = {"{}", "[]", "7", "null", "{'virtualHosts':'h'}", "{'services':7}"})
        void shouldNotBeApplicableWhenNothingIsUsable(final String text) {
            assertThat(mFormat.check("test", text.replace('\'', '"')).isApplicable()).isFalse();
        }
    }

    /** Elements that are not understood, beside others that are. */
    @Nested
    class PartlyUnderstoodConfigurations {
        @ParameterizedTest
        @ValueSource(strings = {"'odd'", "''", "7", "null", "{'a':1}"})
        void shouldRunOnceAndNameThePlaceWhenTheTypeIsUnknown(final String type) {
            final CatalogueCheck check =
                    check(route("'service':'a'").replace("'type':'safe'", "'type':" + type));
            final Route route = check.catalogue().route("h.example", "/p/").orElseThrow();
            assertThat(check.isApplicable()).isTrue();
            assertThat(route.runRule()).isEqualTo(RunRule.ONCE);
            assertThat(check.findings()).hasSize(1);
            assertThat(check.findings().get(0).line())
                    .contains("virtualHosts[0] paths[0]")
                    .contains("unknown-type");
        }

        /** A request must not reach the service of the next shorter prefix. */
        @Test
        void shouldMatchNoOtherRouteWhenTheLongestPrefixIsNotUnderstood() {
            final String broken = "{'pathPrefix':'/p/q/','type':'safe','timeoutS':1}";
            final CatalogueCheck check = check(route("'service':'a'") + "," + broken);
            assertThat(check.isApplicable()).isTrue();
            assertThat(check.catalogue().route("h.example", "/p/x")).isPresent();
            assertThat(check.catalogue().match("h.example", "/p/q/x"))
                    .isInstanceOf(RouteMatch.Unusable.class);
        }

        @Test
        void shouldKeepTheRoutesWhenAServiceOrTheLimitsAreNotUnderstood() {
            final String text =
                    "{'services':[{'name':7},{'name':'a'}],'limits':{'maxHeaderBytes':-1},"
                            + "'virtualHosts':[{'host':7,'paths':[]},{'host':'h','paths':["
                            + route("'service':'a'")
                            + "]}]}";
            final CatalogueCheck check = mFormat.check("test", text.replace('\'', '"'));
            assertThat(check.isApplicable()).isTrue();
            assertThat(check.catalogue().services()).containsExactly("a");
            assertThat(check.catalogue().route("h", "/p/")).isPresent();
            assertThat(check.findings()).hasSize(2);
        }
    }
}
