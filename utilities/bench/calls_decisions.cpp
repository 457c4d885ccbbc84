#include "figures.hpp"
#include "quantiles.hpp"

#include <calls/admission.hpp>
#include <calls/call_dispatcher.hpp>
#include <calls/minion_pool.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <malloc.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// What the decisions about one call cost in time and memory, at today's size
/// and at the target's.
namespace berylhill::bench
{

namespace
{

constexpr int s_calls = 200'000;
constexpr base::duration s_step{50};

/// Runs `decide` and adds its time in microseconds.
template <class Decide>
void timed(quantiles& into, Decide&& decide)
{
    auto const from = std::chrono::steady_clock::now();
    std::forward<Decide>(decide)();
    auto const took = std::chrono::steady_clock::now() - from;
    into.add(std::chrono::duration<double, std::micro>{took}.count());
}

void print(std::string const& name, quantiles const& it)
{
    print_figure(name + ".median", it.at(0.5), "us");
    print_figure(name + ".p999", it.at(0.999), "us");
}

base::instant after(std::int64_t calls)
{
    return base::instant{base::duration{10'000'000} + s_step * calls};
}

calls::call call_at(std::int64_t number, int contracts)
{
    calls::call it;
    it.request_id = "0123456789abcdef-" + std::to_string(number);
    it.contract = "contract-" + std::to_string(number % contracts);
    it.deadline = after(number) + std::chrono::seconds{1};
    it.safety = model::rerun::idempotent;
    return it;
}

/// A ledger under twice its load, so that its queue is always in use.
void run_ledger(int minions, int contracts)
{
    calls::minion_pool ledger{"g", "report-svc", {}, calls::generator{1}};
    for (int i = 0; i < minions; ++i)
    {
        model::endpoint it;
        it.id = "minion-" + std::to_string(i);
        it.slots = 8;
        it.connections = 64;
        std::ignore = ledger.set_minion(it, after(0));
    }
    quantiles offers;
    quantiles answers;
    std::deque<std::pair<std::int64_t, std::string>> running;
    auto const note =
        [&](std::int64_t at, calls::minion_pool_actions const& out)
    {
        for (auto const& it : out)
        {
            if (auto const* send = std::get_if<calls::send_to_minion>(&it))
            {
                running.emplace_back(at + std::int64_t{16} * minions,
                                     send->request_id);
            }
        }
    };
    for (std::int64_t i = 0; i < s_calls; ++i)
    {
        auto const call = call_at(i, contracts);
        calls::minion_pool_actions out;
        timed(offers, [&] { out = ledger.offer(call, after(i)); });
        note(i, out);
        while (!running.empty() && running.front().first <= i)
        {
            auto const id = std::move(running.front().second);
            running.pop_front();
            timed(answers,
                  [&] {
                      out = ledger.answered(id, calls::call_end::succeeded,
                                            after(i));
                  });
            note(i, out);
        }
        if (i % 1'000 == 0)
        {
            note(i, ledger.expire(after(i)));
        }
    }
    auto const name = "calls_decisions.minions_" + std::to_string(minions) +
                      ".contracts_" + std::to_string(contracts);
    print(name + ".offer", offers);
    print(name + ".answered", answers);
}

void run_entry(int groups, int contracts)
{
    calls::call_dispatcher entry{{}, {}, calls::generator{1}};
    calls::admission admission{"e-1", {}, calls::generator{2}};
    for (int i = 0; i < contracts; ++i)
    {
        model::contract it;
        it.name = "contract-" + std::to_string(i);
        it.services = {"report-svc"};
        it.calls_per_s = 1e6;
        it.call_burst = 1'000'000;
        it.calls_at_once = 1'000'000;
        admission.set_contract(it, after(0));
    }
    admission.set_live({"e-1"}, after(0));
    quantiles admissions;
    quantiles starts;
    quantiles ends;
    for (std::int64_t i = 0; i < s_calls; ++i)
    {
        if (i % 2'000 == 0)
        {
            std::ignore = admission.update_shares(after(i));
            for (int g = 0; g < groups; ++g)
            {
                calls::group_digest it;
                it.group = "g-" + std::to_string(g);
                it.service = "report-svc";
                it.epoch = 1;
                it.sequence = i + 1;
                it.slots = 48;
                entry.update_group(it, after(i));
            }
        }
        auto const call = call_at(i, contracts);
        timed(admissions,
              [&] {
                  std::ignore =
                      admission.next(call.contract, "report-svc", {}, after(i));
              });
        calls::dispatch_actions out;
        timed(starts, [&] { out = entry.start(call, "report-svc", after(i)); });
        calls::attempt_report const report{
            call.request_id + "/1", calls::attempt_end::answered, {}};
        timed(ends, [&] { out = entry.attempt_ended(report, after(i)); });
        std::ignore = entry.expire(after(i));
    }
    auto const name = "calls_decisions.groups_" + std::to_string(groups) +
                      ".contracts_" + std::to_string(contracts);
    print(name + ".admit", admissions);
    print(name + ".start", starts);
    print(name + ".ended", ends);
}

double heap()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void run_memory()
{
    constexpr int n = 10'000;
    auto const before = heap();
    calls::minion_pool ledger{"g", "report-svc", {}, calls::generator{1}};
    for (int i = 0; i < n; ++i)
    {
        model::endpoint it;
        it.id = "minion-" + std::to_string(i);
        it.address = "127.0.0.1:40000";
        it.zone = "sapporo-a";
        it.rack = "rack-17";
        it.service = "report-svc";
        it.slots = 8;
        it.connections = 64;
        std::ignore = ledger.set_minion(it, after(0));
    }
    auto const with_minions = heap();
    print_figure("calls_decisions.memory.minion", (with_minions - before) / n,
                 "bytes");
    calls::call_dispatcher entry{{}, {}, calls::generator{1}};
    calls::group_digest group;
    group.group = "g";
    group.service = "report-svc";
    group.epoch = 1;
    group.sequence = 1;
    group.slots = n;
    entry.update_group(group, after(0));
    auto const with_entry = heap();
    for (std::int64_t i = 0; i < n; ++i)
    {
        std::ignore = entry.start(call_at(i, 97), "report-svc", after(0));
    }
    auto const with_calls = heap();
    print_figure("calls_decisions.memory.call_at_its_entry",
                 (with_calls - with_entry) / n, "bytes");
    for (std::int64_t i = 0; i < n; ++i)
    {
        std::ignore = ledger.offer(call_at(i, 97), after(0));
    }
    print_figure("calls_decisions.memory.call_on_a_minion",
                 (heap() - with_calls) / n, "bytes");
}

void run_all()
{
    run_ledger(6, 2);
    run_ledger(6, 97);
    run_ledger(48, 97);
    run_entry(8, 2);
    run_entry(64, 97);
    run_memory();
}

group_of_figures const s_group{"calls_decisions", run_all};

} // namespace

} // namespace berylhill::bench
