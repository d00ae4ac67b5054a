package elmsail.rpc;

import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.BlobRequest;
import elmsail.rpc.messages.BlobResponse;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.FoundingRequest;
import elmsail.rpc.messages.FoundingResponse;
import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.HelloResponse;
import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.LeaseRequest;
import elmsail.rpc.messages.LeaseResponse;
import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.RelayedPrepareRequest;
import elmsail.rpc.messages.RelayedPrepareResponse;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.rpc.messages.ServiceDemand;
import elmsail.rpc.messages.StateTransferRequest;
import elmsail.rpc.messages.StateTransferResponse;
import elmsail.rpc.messages.UsageCount;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageReportResponse;
import elmsail.rpc.messages.UsageWindow;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.rpc.messages.WallClockRequest;
import elmsail.rpc.messages.WallClockResponse;

/** The numbers of message types on the wire: a type's index in the table. Append only. */
final class MessageTypes {

  /** The type number of frames that carry no message. */
  static final int NONE = 0;

  private static final Class<?>[] TABLE = {
    null,
    PullRequest.class,
    PullResponse.class,
    PrepareRequest.class,
    AcceptRequest.class,
    ReadRequest.class,
    VoteResponse.class,
    JoinRequest.class,
    JoinResponse.class,
    StateTransferRequest.class,
    StateTransferResponse.class,
    OpaqueMessage.class,
    Ballot.class,
    Blob.class,
    ClusterView.class,
    Voter.class,
    VoterSet.class,
    BlobRequest.class,
    BlobResponse.class,
    HelloRequest.class,
    HelloResponse.class,
    LeaseRequest.class,
    LeaseResponse.class,
    FoundingRequest.class,
    FoundingResponse.class,
    RelayedPrepareRequest.class,
    RelayedPrepareResponse.class,
    LoadReport.class,
    ServerLoadEntry.class,
    ServiceDemand.class,
    UsageReport.class,
    UsageReportResponse.class,
    UsageWindow.class,
    UsageCount.class,
    WallClockRequest.class,
    WallClockResponse.class,
  };

  private MessageTypes() {}

  /** The highest number plus one. */
  static int size() {
    return TABLE.length;
  }

  /** The type with that number, or null. */
  static Class<?> typeOf(int number) {
    return number > NONE && number < TABLE.length ? TABLE[number] : null;
  }

  /** The number of that type, or {@link #NONE}. */
  static int numberOf(Class<?> type) {
    for (int i = 1; i < TABLE.length; i++) {
      if (TABLE[i] == type) {
        return i;
      }
    }
    return NONE;
  }
}
