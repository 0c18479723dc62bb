/**
 * Owns what every other package needs: error codes, findings, ranked locks and the closer. Calls no
 * other package of the project.
 */
package io.bilberrylane.base;
