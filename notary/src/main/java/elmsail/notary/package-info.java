/** The control plane: the configuration, who is there, the servers' list, and what the vaults keep. */
package elmsail.notary;
