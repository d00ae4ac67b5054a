package elmsail.batch.api;

import elmsail.batch.client.BatchContext;
import elmsail.batch.messages.QuotaKey;
import elmsail.batch.messages.WaitingTokens;

/**
 * The tokens that one submission reserves at the stores. Each reservation after a withdrawal has a
 * new attempt id. Confined to the gateway's event loop.
 */
final class SubmissionReservation {
  private final BatchContext context;
  private final Submission submission;
  private WaitingTokens.Reservation reservation;

  /** Whether any store may hold the reservation. */
  private boolean mayBeHeld;

  private boolean hasReserved;

  SubmissionReservation(BatchContext context, Submission submission) {
    this.context = context;
    this.submission = submission;
    this.reservation = newReservation();
  }

  private WaitingTokens.Reservation newReservation() {
    QuotaKey quotaKey = new QuotaKey(submission.route().name(), submission.tenant());
    return new WaitingTokens.Reservation(
        quotaKey, submission.jobId(), submission.tokens(), context.random().nextLong());
  }

  /** The reservation to send with a round: without tokens in a {@code READ} round. */
  byte[] encodeFor(AdmissionRound round) {
    if (round == AdmissionRound.READ) {
      return reservation.withoutTokens().encode();
    }
    mayBeHeld = true;
    hasReserved = true;
    return reservation.encode();
  }

  /** Whether a round has ever sent tokens, withdrawn since or not. */
  boolean hasReserved() {
    return hasReserved;
  }

  /** Withdraws the reservation, if any store may hold it. */
  void withdraw() {
    if (mayBeHeld) {
      new ReservationWithdrawal(context, reservation).start();
      mayBeHeld = false;
      reservation = newReservation();
    }
  }
}
