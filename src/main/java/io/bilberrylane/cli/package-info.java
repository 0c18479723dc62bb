/**
 * The command line: subcommands, flags, environment variables, and the settings file with its
 * reload. May call every package.
 */
package io.bilberrylane.cli;
