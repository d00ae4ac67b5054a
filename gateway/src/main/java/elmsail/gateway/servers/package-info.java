/**
 * The servers as the gateway sees them: which are in the list, how loaded each is, which is chosen
 * for an attempt, and the connections that are kept to them.
 */
package elmsail.gateway.servers;
