#include <settings/entry_schema.hpp>

#include <settings/file.hpp>
#include <settings/schema.hpp>

namespace berylhill::settings
{

namespace
{

constexpr double s_longest_s = 86'400;
constexpr double s_shortest_s = 0.01;

kind_pointer<double> seconds()
{
    return number(s_shortest_s, s_longest_s);
}

kind_pointer<listen_settings> listen_kind()
{
    auto it = std::make_shared<schema<listen_settings>>();
    it->add({"http", "", "For callers and operators.", presence::required},
            &listen_settings::http, address());
    it->add({"peer", "", "For the other entries.", presence::required},
            &listen_settings::peer, address());
    it->check({"http", "peer"},
              [](auto const& at, auto const& read, auto& found)
              {
                  if (!read.http.empty() && read.http == read.peer)
                  {
                      found.add(at.member("peer").wrong(
                          "the same address as http; each needs its own"));
                  }
              });
    return it;
}

kind_pointer<platform_settings> platform_kind()
{
    using section = platform_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"log", "", "The append-only log service.", presence::required},
            &section::log, address());
    it->add({"list", "", "The list of live and leaving instances.",
             presence::required},
            &section::list, address());
    it->add({"appends_per_s", "appends/s",
             "This instance's share of what the log service takes: its budget "
             "divided by the number of entries."},
            &section::appends_per_s, number(1, 1'000));
    it->add({"timeout_s", "s", "A request to the platform is given up after."},
            &section::timeout_s, seconds());
    it->add({"read_wait_s", "s",
             "A read of the log waits this long for a new record."},
            &section::read_wait_s, seconds());
    it->add({"list_poll_s", "s", "Between two readings of the list."},
            &section::list_poll_s, seconds());
    it->add({"snapshot_s", "s",
             "Live state is written to its stream anew when this old; keep it "
             "below half of the log's retention."},
            &section::snapshot_s, seconds());
    return it;
}

kind_pointer<limit_settings> limit_kind()
{
    using section = limit_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"memory_mb", "MB",
             "What the machine has; connections of callers, and those of other "
             "entries, hold at most a quarter each."},
            &section::memory_mb, integer(16, 1'048'576));
    it->add({"connections", "connections",
             "Of callers. For one more, the one that has sent no whole request "
             "for longest is closed."},
            &section::connections, integer(16, 1'000'000));
    it->add({"peer_connections", "connections",
             "Of other entries. For one more, the one that has been idle for "
             "longest is closed."},
            &section::peer_connections, integer(16, 100'000));
    it->add({"body_bytes", "bytes", "A longer request body is refused."},
            &section::body_bytes, integer(1'024, 1'073'741'824));
    it->add({"http_threads", "threads",
             "Requests of callers that are worked on at once."},
            &section::http_threads, integer(2, 1'024));
    it->add({"peer_threads", "threads", "Requests of other entries at once."},
            &section::peer_threads, integer(2, 1'024));
    it->add({"worker_threads", "threads", "Exchanges with workers at once."},
            &section::worker_threads, integer(1, 1'024));
    it->add({"minion_threads", "threads", "Calls to minions at once."},
            &section::minion_threads, integer(1, 4'096));
    it->add({"request_read_s", "s",
             "A caller that sends its request slower is cut off."},
            &section::request_read_s, seconds());
    it->add({"waiting_calls", "calls",
             "More waiting calls are refused at once, as not run."},
            &section::waiting_calls, integer(1, 1'000'000));
    it->add({"pending_log_entries", "entries",
             "Entries that wait for the log; work that needs one more is "
             "refused, as not run."},
            &section::pending_log_entries, integer(1, 10'000'000));
    return it;
}

kind_pointer<log_settings> log_kind()
{
    using enum base::log_level;
    auto it = std::make_shared<schema<log_settings>>();
    it->add({"level", "", "The least level that is written."},
            &log_settings::level,
            choice<base::log_level>({{debug, "debug"},
                                     {info, "info"},
                                     {warning, "warning"},
                                     {error, "error"}}));
    return it;
}

kind_pointer<ownership_settings> ownership_kind()
{
    using section = ownership_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"tenure_s", "s",
             "How long a right to place lasts from before the log read that "
             "showed it. The same on every entry."},
            &section::tenure_s, number(0.1, 60));
    it->add({"clock_rate_margin", "share",
             "Clock rates of two instances differ at most by this."},
            &section::clock_rate_margin, number(0, 0.5));
    it->add({"heartbeat_s", "s", "Between two heartbeats to another entry."},
            &section::heartbeat_s, seconds());
    it->add({"suspect_s", "s",
             "An entry silent for longer is suspected to be down."},
            &section::suspect_s, seconds());
    it->add({"moves_at_once", "units",
             "Units that may change owner at once to spread the load."},
            &section::moves_at_once, integer(1, 1'000));
    it->add({"job_shards", "shards",
             "Shards that contracts' jobs are spread over. The same on every "
             "entry."},
            &section::job_shards, integer(1, 4'096));
    it->add({"minions_per_group", "minions",
             "Minions that one group owner counts. The same on every entry."},
            &section::minions_per_group, integer(1, 1'000));
    it->check({"heartbeat_s", "suspect_s"},
              [](auto const& at, auto const& read, auto& found)
              {
                  if (read.suspect_s < 2 * read.heartbeat_s)
                  {
                      found.add(at.wrong("suspect_s is below two heartbeats; "
                                         "one lost message would be a death"));
                  }
              });
    return it;
}

kind_pointer<worker_settings> worker_kind()
{
    using section = worker_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"lease_s", "s",
             "A worker stops its tasks when not renewed for this long."},
            &section::lease_s, seconds());
    it->add({"heartbeat_s", "s", "Between two renewals of a worker's leases."},
            &section::heartbeat_s, seconds());
    it->add({"timeout_s", "s", "An exchange with a worker is given up after."},
            &section::timeout_s, seconds());
    it->add({"quarantine_s", "s",
             "A worker that fails what it starts gets no work for this long."},
            &section::quarantine_s, seconds());
    it->check({"lease_s", "heartbeat_s"},
              [](auto const& at, auto const& read, auto& found)
              {
                  if (read.lease_s < 3 * read.heartbeat_s)
                  {
                      found.add(at.wrong("lease_s is below three heartbeats; "
                                         "two lost ones would stop tasks"));
                  }
              });
    return it;
}

kind_pointer<minion_settings> minion_kind()
{
    using section = minion_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"ping_s", "s", "Between two pings of a quiet connection."},
            &section::ping_s, seconds());
    it->add({"timeout_s", "s", "A ping without an answer is given up after."},
            &section::timeout_s, seconds());
    it->add({"retry_share", "share",
             "Retries may be at most this share of first attempts."},
            &section::retry_share, number(0, 1));
    return it;
}

kind_pointer<stop_settings> stop_kind()
{
    auto it = std::make_shared<schema<stop_settings>>();
    it->add({"drain_s", "s",
             "A planned stop of this process waits this long for its calls."},
            &stop_settings::drain_s, seconds());
    return it;
}

kind_pointer<trace_settings> trace_kind()
{
    auto it = std::make_shared<schema<trace_settings>>();
    it->add({"spans", "spans",
             "Spans kept in memory; the oldest give way to new ones."},
            &trace_settings::spans, integer(0, 1'000'000));
    return it;
}

void add_place(schema<entry_settings>& it)
{
    using section = entry_settings;
    it.add({"instance", "", "This instance's name, unique in the cell.",
            presence::required},
           &section::instance, identifier());
    it.add({"zone", "", "Its availability zone.", presence::required},
           &section::zone, identifier());
    it.add({"side", "", "The data centre that it is in.", presence::required},
           &section::side, identifier());
}

void add_sections(schema<entry_settings>& it)
{
    using section = entry_settings;
    it.add({"listen", "", "Where it accepts connections.", presence::required},
           &section::listen, listen_kind());
    it.add({"platform", "", "Where the platform is.", presence::required},
           &section::platform, platform_kind());
    it.add({"sides", "",
            "Entries (listen/http) of the other data centre, by its name; "
            "requests of its contracts are forwarded there."},
           &section::sides, map_of(list_of(address())));
    it.add({"limits", "", ""}, &section::limits, limit_kind());
    it.add({"log", "", ""}, &section::log, log_kind());
    it.add({"ownership", "", ""}, &section::ownership, ownership_kind());
    it.add({"workers", "", ""}, &section::workers, worker_kind());
    it.add({"minions", "", ""}, &section::minions, minion_kind());
    it.add({"stop", "", ""}, &section::stop, stop_kind());
    it.add({"traces", "", ""}, &section::traces, trace_kind());
}

kind_pointer<entry_settings> make_entry_schema()
{
    auto it = std::make_shared<schema<entry_settings>>();
    add_place(*it);
    add_sections(*it);
    it->check({"side", "sides"},
              [](auto const& at, auto const& read, auto& found)
              {
                  if (read.sides.contains(read.side))
                  {
                      found.add(at.member("sides").member(read.side).wrong(
                          "this instance's own side; requests "
                          "would be forwarded in a circle"));
                  }
              });
    return it;
}

} // namespace

value_kind<entry_settings> const& entry_schema()
{
    static kind_pointer<entry_settings> const s_schema = make_entry_schema();
    return *s_schema;
}

entry_settings read_entry_settings(std::string const& source,
                                   std::string const& text,
                                   base::findings& found)
{
    entry_settings value;
    document const from{source, text, found};
    if (from.readable())
    {
        entry_schema().read(from.root(), value, found);
    }
    return value;
}

entry_settings load_entry_settings(std::string const& path,
                                   base::findings& found)
{
    auto const text = base::capture([&] { return read_file(path); });
    if (!text)
    {
        found.add({path, 0, "", "cannot be read as a file"});
        return {};
    }
    return read_entry_settings(path, text.value(), found);
}

} // namespace berylhill::settings
