/**
 * The servers as the gateway sees them: which are listed, their load and health, which one an
 * attempt gets, and the connections to them.
 */
package elmsail.gateway.servers;
