/**
 * The exchange of loads between gateways: how many requests all of them have open at each server,
 * for servers that do not report their load themselves.
 */
package elmsail.gateway.load;
