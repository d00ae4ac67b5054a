/** The data plane: client requests, streams and batch calls, forwarded to servers. */
package elmsail.gateway;
