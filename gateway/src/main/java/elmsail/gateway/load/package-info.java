/**
 * The exchange of loads between gateways. Each gateway learns how many requests all gateways have
 * open at each server that does not report its load itself.
 */
package elmsail.gateway.load;
