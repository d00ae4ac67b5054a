/** Client connections: the listener, connections with their timeouts and limits, and responses. */
package elmsail.gateway.frontend;
