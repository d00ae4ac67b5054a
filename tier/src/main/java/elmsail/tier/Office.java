package elmsail.tier;

import elmsail.disk.FolderRecords;
import elmsail.disk.Records;
import elmsail.inner.InnerLinks;
import elmsail.notary.Notary;
import elmsail.station.NettyLoop;
import elmsail.station.Settings;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A notary put together, at the head office or a vault: its disk, its links, its part. All on the loop. */
final class Office implements Program.Running {
  private static final Logger LOG = LoggerFactory.getLogger(Office.class);

  private final InnerLinks links;
  private final Records records;
  private Notary notary;

  Office(Settings settings, NettyLoop loop) {
    links = new InnerLinks(loop.events(), loop, settings.innerAddress());
    records = settings.dataDir() == null ? null : FolderRecords.open(Path.of(settings.dataDir()),
        (long) settings.limits().diskMb() << 20, loop::soon);
    if (settings.serves().contains("head_office")) {
      links.listen().exceptionally(Launch::fatal);
      Notary.startHeadOffice(settings, loop, links, records).thenAccept(started -> {
        notary = started;
        LOG.info("listening at {} and {}", settings.slots().get("control"), settings.innerAddress());
      }).exceptionally(Launch::fatal);
    } else {
      notary = Notary.startVault(settings, loop, links, records);
      links.listen().thenRun(() -> LOG.info("listening at {}", settings.innerAddress()))
          .exceptionally(Launch::fatal);
    }
  }

  @Override
  public void changed(Settings settings) {
    LOG.info("settings have changed; what a running notary needs of them stays as it was");
  }

  @Override
  public void end(Runnable ended) {
    if (notary == null) {
      close(ended);
      return;
    }
    notary.end().whenComplete((done, failed) -> close(ended));
  }

  private void close(Runnable ended) {
    links.close();
    if (records != null) {
      records.close();
    }
    ended.run();
  }
}
