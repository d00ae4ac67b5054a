/** The data plane: clients' requests, streams and lots at the counter. */
package elmsail.clerk;
