/// Measures the decisions about ownership, the log's writer and the records of
/// jobs, and prints one `name=value unit` line for each figure.
#include "job_state.hpp"

#include <model/json.hpp>
#include <ownership/participant.hpp>
#include <stream/writer_state.hpp>
#include <tests/ownership/simulated_cell.hpp>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace berylhill;
using namespace berylhill::ownership;

namespace
{

using stopwatch = std::chrono::steady_clock;

constexpr std::array s_unit_counts{50, 500, 3'000};
constexpr std::array s_instance_counts{9, 50, 200};
constexpr base::instant s_start{std::chrono::seconds{100}};

void print(std::string const& name, double value, char const* unit)
{
    std::printf("%s=%.4g %s\n", name.c_str(), value, unit);
}

double us_since(stopwatch::time_point start)
{
    return std::chrono::duration<double, std::micro>(stopwatch::now() - start)
        .count();
}

std::string incarnation(int i)
{
    return "entry-" + std::to_string(i) + ".0123456789abcdef";
}

/// Members, then a claim for each unit, spread evenly.
std::vector<std::pair<std::int64_t, record>> history(int units, int instances)
{
    std::vector<std::pair<std::int64_t, record>> all;
    all.reserve(static_cast<std::size_t>(units) +
                static_cast<std::size_t>(instances));
    std::int64_t offset = 0;
    for (int i = 0; i < instances; ++i)
    {
        all.emplace_back(offset++,
                         join{incarnation(i), "entry-" + std::to_string(i),
                              "zone-" + std::to_string(i % 4)});
    }
    for (int n = 0; n < units; ++n)
    {
        all.emplace_back(offset++, claim{"rack:ishikari-" + std::to_string(n),
                                         incarnation(n % instances), -1});
    }
    return all;
}

double bytes_in_use()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void measure_table()
{
    for (auto const units : s_unit_counts)
    {
        auto const records = history(units, 9);
        auto const before = bytes_in_use();
        claim_table table;
        auto const start = stopwatch::now();
        for (auto const& [offset, it] : records)
        {
            table.apply(offset, it);
        }
        auto const us = us_since(start);
        auto const name = "table.units_" + std::to_string(units);
        print(name + ".apply", us / static_cast<double>(records.size()),
              "us/entry");
        print(name + ".memory", (bytes_in_use() - before) / units,
              "bytes/unit");
        print(name + ".snapshot",
              static_cast<double>(table.to_snapshot().table.size()), "bytes");
    }
}

std::set<std::string> unit_names(int units)
{
    std::set<std::string> names;
    for (int n = 0; n < units; ++n)
    {
        names.insert("rack:ishikari-" + std::to_string(n));
    }
    return names;
}

participant settled_tenure(int units, int instances)
{
    participant_options options;
    options.incarnation = incarnation(0);
    options.instance = "entry-0";
    options.zone = "zone-0";
    participant it{options, s_start};
    std::set<std::string> list;
    for (int i = 0; i < instances; ++i)
    {
        list.insert("entry-" + std::to_string(i));
    }
    (void)it.on_entry_list(list, s_start);
    (void)it.set_units(unit_names(units), s_start);
    auto const records = history(units, instances);
    (void)it.on_log_read(records, units + instances, s_start, s_start);
    return it;
}

void hear_all(participant& it, int instances, int but, base::instant now)
{
    for (int i = 1; i < instances; ++i)
    {
        if (i != but)
        {
            (void)it.on_heartbeat({incarnation(i), "entry-" + std::to_string(i),
                                   "zone-" + std::to_string(i % 4), false},
                                  now);
        }
    }
}

void measure_tick(int units, int instances)
{
    auto const name = "tick.units_" + std::to_string(units) + ".instances_" +
                      std::to_string(instances);
    auto it = settled_tenure(units, instances);
    auto now = s_start + std::chrono::seconds{2};
    hear_all(it, instances, 0, now);
    (void)it.on_log_read({}, units + instances, now, now);
    constexpr int s_ticks = 20;
    auto start = stopwatch::now();
    for (int i = 0; i < s_ticks; ++i)
    {
        (void)it.tick(now + std::chrono::milliseconds{i});
    }
    print(name + ".idle", us_since(start) / s_ticks, "us");
    // One owner falls silent: its units are planned anew.
    now += std::chrono::seconds{2};
    hear_all(it, instances, 1, now);
    (void)it.on_suspicion({incarnation(2), incarnation(1)}, now);
    (void)it.on_suspicion({incarnation(3), incarnation(1)}, now);
    start = stopwatch::now();
    auto const actions = it.on_log_read({}, units + instances, now, now);
    print(name + ".one_dead", us_since(start), "us");
}

/// Entries arrive evenly; the log takes `append_takes` for each append.
void measure_writer(double budget, double entries_per_s)
{
    constexpr base::duration s_append_takes = std::chrono::milliseconds{5};
    constexpr base::duration s_span = std::chrono::seconds{20};
    stream::writer_options options;
    options.writer = "w";
    options.appends_per_s = budget;
    stream::writer_state writer{options};
    std::map<std::uint64_t, base::instant> submitted;
    std::vector<double> waits;
    auto const gap = base::from_seconds(1 / entries_per_s);
    auto now = s_start;
    auto next_entry = now;
    std::uint64_t ticket = 0;
    std::int64_t offset = 0;
    base::instant answer_at{};
    auto const settle = [&](std::vector<stream::settled> const& ended)
    {
        for (auto const& it : ended)
        {
            waits.push_back(base::seconds_of(now - submitted[it.ticket]));
            submitted.erase(it.ticket);
        }
    };
    for (; now < s_start + s_span; now += std::chrono::microseconds{100})
    {
        for (; next_entry <= now; next_entry += gap)
        {
            submitted[++ticket] = now;
            (void)writer.submit(ticket, "{\"job\":\"0123456789\"}", now);
        }
        if (answer_at != base::instant{})
        {
            if (now < answer_at)
            {
                continue;
            }
            answer_at = {};
            settle(writer.appended(offset++, now));
        }
        auto const step = writer.next(now);
        if (std::holds_alternative<stream::append_record>(step))
        {
            answer_at = now + s_append_takes;
        }
        else if (std::holds_alternative<stream::read_back>(step))
        {
            settle(writer.read(platform::log_page{}, now));
        }
    }
    std::sort(waits.begin(), waits.end());
    auto const name = "writer.budget_" + std::to_string(int(budget)) +
                      ".entries_" + std::to_string(int(entries_per_s));
    auto const at = [&](double share)
    {
        auto const n = static_cast<double>(waits.size() - 1) * share;
        return 1'000 * waits[static_cast<std::size_t>(n)];
    };
    auto const span = base::seconds_of(s_span);
    print(name + ".written", static_cast<double>(waits.size()) / span,
          "entries/s");
    print(name + ".appends", static_cast<double>(writer.appends()) / span,
          "appends/s");
    print(name + ".wait_p50", at(0.5), "ms");
    print(name + ".wait_p99", at(0.99), "ms");
}

void measure_messages(std::size_t instances)
{
    simulated_cell it{
        {.instances = instances, .zones = 4, .units = 8 * instances}};
    it.run(std::chrono::seconds{15});
    auto const entries = it.log_size();
    auto const beats_before = it.heartbeats();
    it.run(std::chrono::seconds{20});
    auto const beats = static_cast<double>(it.heartbeats() - beats_before) /
                       20 / static_cast<double>(instances);
    auto const idle_entries = it.log_size() - entries;
    it.set_log_available(false);
    it.run(std::chrono::seconds{5});
    auto const before = it.vouch_messages();
    it.run(std::chrono::seconds{20});
    auto const vouches = static_cast<double>(it.vouch_messages() - before) /
                         20.0 / static_cast<double>(instances);
    auto const beat = model::text_of(to_json(it.at(0).own_heartbeat())).size();
    auto const name = "mesh.instances_" + std::to_string(instances);
    print(name + ".heartbeats", beats, "messages/s");
    print(name + ".heartbeat_bytes", beats * static_cast<double>(beat),
          "bytes/s");
    print(name + ".outage_vouches", vouches, "messages/s");
    print(name + ".idle_log_entries", static_cast<double>(idle_entries) / 20,
          "entries/s");
    print(name + ".unacted",
          static_cast<double>(it.units().size() - it.active_units()), "units");
}

} // namespace

int main()
{
    measure_table();
    for (auto const units : s_unit_counts)
    {
        for (auto const instances : s_instance_counts)
        {
            measure_tick(units, instances);
        }
    }
    for (auto const budget : {30.0, 100.0, 300.0})
    {
        measure_writer(budget, 5);
        measure_writer(budget, 1'600);
    }
    for (std::size_t const n : {5U, 9U, 18U, 36U})
    {
        measure_messages(n);
    }
    state_bench::measure_job_state();
}
