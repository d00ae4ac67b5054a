package elmsail.controlplane;

/** Progress of a store's decommissioning, as the operators' API reports it. */
enum DecommissionState {
  /** The store may hold a voter slot now or later: its machine must stay. */
  IN_SERVICE("in_service"),

  /** The store holds no voter slot and never will again: its machine may be removed. */
  DECOMMISSIONED("delivered");

  private final String jsonName;

  DecommissionState(String jsonName) {
    this.jsonName = jsonName;
  }

  /** The value of the field "state" in the operators' API. */
  String jsonName() {
    return jsonName;
  }
}
