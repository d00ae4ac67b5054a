package elmsail.clerk.requests;

import elmsail.clerk.servers.Servers;
import elmsail.clerk.words.Tally;
import elmsail.station.Timers;
import elmsail.timetable.Known;
import java.util.random.RandomGenerator;

/** What every request needs on its way. */
public record Course(Timers timers, Known known, Servers servers, Tally tally, RandomGenerator chance) {
}
