/**
 * The control plane: the routing configuration, the list of model servers, and the voter sets of
 * the control plane and of the job stores. {@link elmsail.controlplane.ControlPlaneServer} starts a
 * node and {@link elmsail.controlplane.StoreServer} a store; everything else is package-private and
 * runs on the process's event loop.
 */
package elmsail.controlplane;
