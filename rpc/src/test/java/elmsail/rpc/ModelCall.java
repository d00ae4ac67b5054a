package elmsail.rpc;

/** One call of a {@link CallModel}, with what became of it. */
final class ModelCall {
  final int index;
  long number;
  ModelConnection connection;
  boolean sent;
  int ends;
  int runs;
  String outcome = "new";

  ModelCall(int index) {
    this.index = index;
  }
}
