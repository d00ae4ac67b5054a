/** The data plane: clients' requests, streams and jobs at the counter. */
package elmsail.gateway;
