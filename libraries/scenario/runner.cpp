#include <scenario/runner.hpp>

#include <model/json.hpp>
#include <scenario/configuration_watch.hpp>
#include <scenario/operations.hpp>
#include <scenario/script_values.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace berylhill::scenario
{

namespace
{

constexpr auto s_poll = std::chrono::milliseconds{50};

base::result<Json::Value> contract_in(std::string const& path)
{
    std::ifstream in{path};
    std::stringstream text;
    text << in.rdbuf();
    return model::parse_json(text.str());
}

} // namespace

runner::runner(runner_options options)
    : m_options{std::move(options)}
    , m_pool{std::make_shared<platform::http_pool>()}
{
}

runner::~runner() = default;

run_report runner::run(script const& it)
{
    m_report = {};
    set_up(it);
    auto const started = base::capture([&] { return m_cell->start(); });
    if (started)
    {
        m_watch =
            std::make_unique<configuration_watch>(*m_api, m_cell->entries());
        for (auto const& line : it.statements)
        {
            do_one(line);
        }
    }
    else
    {
        m_report.missed.push_back(started.error().message);
    }
    m_watch.reset();
    m_work.reset();
    m_cell->stop();
    auto const history = base::capture([&] { return m_cell->history(); });
    if (!history)
    {
        m_report.missed.push_back(history.error().message);
        return m_report;
    }
    m_report.seen = merged(history.value(), m_cell->seen().events());
    m_report.breaches = check_all(m_report.seen);
    keep(m_report, m_options.directory + "/seen.txt");
    return m_report;
}

void runner::set_up(script const& it)
{
    cell_options options;
    options.binary = m_options.binary;
    options.stand_ins = m_options.stand_ins;
    options.directory = m_options.directory;
    options.seed = m_options.seed;
    options.fleet = fleet_of(it);
    for (auto const& line : it.statements)
    {
        if (line.what == action::entries)
        {
            options.entries = line.count("count");
        }
    }
    m_cell = std::make_unique<cell>(options, m_pool);
    m_api =
        std::make_unique<api_client>(m_pool, m_cell->entries(), m_cell->seen());
    m_work = std::make_unique<workload>(*m_api, m_cell->seen());
    m_batches = 0;
    m_accepted = -1;
}

void runner::miss(statement const& it, std::string const& why)
{
    m_report.missed.push_back("line " + std::to_string(it.line) + ": " +
                              it.text + ": " + why);
}

void runner::do_one(statement const& it)
{
    Json::Value details;
    details["text"] = it.text;
    m_cell->seen().add("statement", "line " + std::to_string(it.line), details);
    switch (it.what)
    {
    case action::entries:
    case action::workers:
    case action::minions:
        break;
    case action::wait:
        std::this_thread::sleep_for(base::from_seconds(it.number("time")));
        break;
    case action::contract:
    case action::race:
    case action::calls:
    case action::jobs:
    case action::cancel:
        do_work(it);
        break;
    case action::kill_entry:
    case action::freeze_entry:
    case action::thaw_entry:
    case action::start_entry:
    case action::stop_entry:
    case action::announce:
    case action::log_fault:
    case action::log_slow:
    case action::log_lose:
    case action::list_fault:
    case action::worker_cut:
    case action::worker_fault:
    case action::minion_slow:
    case action::minion_fault:
        do_operation(it);
        break;
    case action::expect_answered:
    case action::expect_refused:
    case action::expect_succeeded:
    case action::expect_cancelled:
    case action::expect_in_force:
    case action::expect_ready:
    case action::expect_promises:
        do_expect(it);
        break;
    }
}

void runner::do_operation(statement const& it)
{
    auto const done =
        base::capture([&] { return perform(it, *m_cell, *m_api); });
    if (!done)
    {
        miss(it, done.error().message);
    }
}

void runner::do_work(statement const& it)
{
    switch (it.what)
    {
    case action::contract:
        apply({it.word("file")});
        break;
    case action::race:
        apply({it.word("first"), it.word("second")});
        break;
    case action::calls:
    {
        call_batch batch;
        batch.prefix = "c" + std::to_string(++m_batches);
        batch.contract = it.word("contract");
        batch.service = it.word("service");
        batch.safety = it.word("safety") == "once" ? model::rerun::at_most_once
                                                   : model::rerun::idempotent;
        batch.count = it.count("count");
        batch.rate = it.number("rate");
        m_work->start(batch);
        break;
    }
    case action::jobs:
    {
        job_batch batch;
        batch.tag = it.word("tag");
        batch.request = request_of(it);
        batch.command["run_s"] = it.number("run");
        batch.count = it.count("count");
        m_work->start(batch);
        break;
    }
    default:
        m_work->cancel(it.word("tag"), it.count("count"));
        break;
    }
}

void runner::apply(std::vector<std::string> const& files)
{
    auto const based_on = m_api->newest_configuration();
    std::vector<std::thread> operators;
    std::vector<std::string> failures(files.size());
    std::vector<std::int64_t> offsets(files.size(), -1);
    for (std::size_t n = 0; n < files.size(); ++n)
    {
        operators.emplace_back(
            [&, n]
            {
                auto const offset = base::capture(
                    [&]() -> base::result<std::int64_t>
                    {
                        BOOST_LEAF_AUTO(
                            it, contract_in(m_options.files + "/" + files[n]));
                        Json::Value list{Json::arrayValue};
                        list.append(it);
                        return m_api->apply(list, based_on,
                                            "operator-" + std::to_string(n));
                    });
                offsets[n] = offset ? offset.value() : -1;
                failures[n] = offset ? "" : offset.error().message;
            });
    }
    for (auto& it : operators)
    {
        it.join();
    }
    auto const won = std::count_if(offsets.begin(), offsets.end(),
                                   [](auto it) { return it >= 0; });
    m_accepted =
        std::max(m_accepted, *std::max_element(offsets.begin(), offsets.end()));
    if (won != 1)
    {
        m_report.missed.push_back("of " + std::to_string(files.size()) +
                                  " applies " + std::to_string(won) +
                                  " were accepted: " + failures.back());
    }
}

bool runner::in_force_everywhere()
{
    for (auto const& it : m_cell->entries().all())
    {
        auto const offset =
            base::capture([&] { return m_api->configuration(it); });
        if (!offset || offset.value() < m_accepted)
        {
            return false;
        }
    }
    return true;
}

void runner::wait_for(statement const& it, std::function<bool()> const& held)
{
    base::system_clock const clock;
    auto const until = clock.now() + base::from_seconds(it.number("time"));
    while (!held())
    {
        if (clock.now() > until)
        {
            miss(it, "it did not come; answered " +
                         std::to_string(m_work->answered()) + ", succeeded " +
                         std::to_string(m_work->ended("succeeded")) +
                         ", cancelled " +
                         std::to_string(m_work->ended("cancelled")) +
                         ", failed " + std::to_string(m_work->ended("failed")));
            return;
        }
        std::this_thread::sleep_for(s_poll);
    }
}

void runner::do_expect(statement const& it)
{
    switch (it.what)
    {
    case action::expect_answered:
        wait_for(it, [&] { return m_work->answered() >= it.count("count"); });
        break;
    case action::expect_succeeded:
        wait_for(it, [&]
                 { return m_work->ended("succeeded") >= it.count("count"); });
        break;
    case action::expect_cancelled:
        wait_for(it, [&]
                 { return m_work->ended("cancelled") >= it.count("count"); });
        break;
    case action::expect_in_force:
        wait_for(it, [this] { return in_force_everywhere(); });
        break;
    case action::expect_ready:
        wait_for(it,
                 [&]
                 {
                     int ready = 0;
                     for (int n = 1; n <= m_cell->entry_count(); ++n)
                     {
                         ready += m_cell->ready(n) ? 1 : 0;
                     }
                     return ready >= it.count("count");
                 });
        break;
    case action::expect_refused:
        if (m_work->refused() > it.count("count"))
        {
            miss(it, std::to_string(m_work->refused()) + " were refused");
        }
        break;
    default:
        break; // The promises are held against the whole history at the end.
    }
}

} // namespace berylhill::scenario
