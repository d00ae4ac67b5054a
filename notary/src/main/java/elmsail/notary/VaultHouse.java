package elmsail.notary;

import elmsail.disk.Records;
import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.Seating;
import elmsail.register.SetKeeper;
import elmsail.register.Views;
import elmsail.station.Settings;
import elmsail.station.Timers;
import elmsail.timetable.pull.Puller;
import elmsail.timetable.pull.VaultPart;

/** A vault's part in the set "shelf": its seat is told by the notaries, and claimed when they say so. */
final class VaultHouse {
  static final String SET = "shelf";

  private final SetKeeper keeper;
  private final Puller puller;

  VaultHouse(Settings settings, Timers timers, Caller caller, Answering answering, Records records,
      Views views) {
    keeper = new SetKeeper(SET, records, views, answering, caller, timers, settings.innerAddress(),
        settings.station());
    puller = new Puller(caller, timers, settings, "vault", records.life(),
        () -> new VaultPart(keeper.seated(), false, keeper.seating()), null);
  }

  void start() {
    puller.whenChanged(this::learn);
    puller.whenClaim(keeper::claim);
    puller.start();
  }

  private void learn() {
    Seating shelf = puller.roster().shelf;
    if (shelf.seats.isEmpty()) {
      return;
    }
    if (keeper.seating().seats.isEmpty()) {
      keeper.found(shelf);
    }
    keeper.learn(shelf);
  }

  SetKeeper keeper() {
    return keeper;
  }

  Puller puller() {
    return puller;
  }

  void close() {
    puller.close();
  }
}
