/**
 * Shared by the other packages: error codes, findings, ranked locks, the decision log and the
 * resource closer. Uses no other package of the project.
 */
package io.bilberrylane.base;
