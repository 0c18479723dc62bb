/** Owns the command line: subcommands, flags, environment variables. May call every package. */
package io.bilberrylane.cli;
