/**
 * The operators' client: the accepted catalogue in the platform and the status of nodes. May call
 * {@code base}, {@code catalogue}, {@code net} and {@code platform}.
 */
package io.bilberrylane.ctl;
