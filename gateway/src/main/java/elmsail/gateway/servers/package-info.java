/**
 * The gateway's servers: the listed servers, their load and health, the selection of a server for
 * each attempt, and the connections to servers.
 */
package elmsail.gateway.servers;
