/**
 * The programs: command lines, exit codes, log set-up, and the wiring of the processes. Main
 * classes are named in {@code deploy/}.
 */
package elmsail.app;
