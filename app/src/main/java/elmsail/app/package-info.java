/** The command line of both programs. */
package elmsail.app;
