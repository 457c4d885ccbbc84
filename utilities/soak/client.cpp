#include <soak/client.hpp>

#include <json_codec/reader.hpp>
#include <stand_ins/documents.hpp>
#include <workload/job_id.hpp>

#include <array>
#include <utility>

namespace berylhill::soak
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned unauthorised = 401;
constexpr unsigned gone = 410;

constexpr std::chrono::seconds deadline{3};

/// Of an attempt that has to be accepted.
constexpr std::chrono::seconds longest_acceptance{1};
constexpr std::chrono::milliseconds look_pause{120};
constexpr std::chrono::milliseconds retry_pause{250};

/// A client gives a job up that was refused so often.
constexpr int most_refusals = 4;

/// One job in so many is cancelled.
constexpr std::uint64_t cancel_one_in = 7;

/// One job in so many is cancelled in haste; one of so many of these twice.
constexpr std::uint64_t hasty_one_in = 4;
constexpr std::uint64_t twice_one_in = 3;

/// From a submission until its caller cancels: with it, while it is still under
/// way, or at its end alone.
constexpr std::array<std::chrono::milliseconds, 3> haste_pauses{
    std::chrono::milliseconds{0}, std::chrono::milliseconds{100}, 2 * deadline};

} // namespace

std::vector<std::vector<std::string>>
client::task_names(std::size_t first_tasks)
{
    std::vector<std::string> first;
    for (std::size_t n = 0; n < first_tasks; ++n)
    {
        first.push_back("0.0." + std::to_string(n));
    }
    return {std::move(first), {"0.1.0"}};
}

client::client(boost::asio::io_context& loop,
               cell const& at,
               ledger& seen,
               std::uint64_t seed)
    : m_cell{at}
    , m_seen{seen}
    , m_random{seed}
    , m_client{loop, {}}
    , m_timer{loop}
    , m_account{static_cast<std::size_t>(seed % cell::accounts)}
{
}

client::~client() = default;

void client::start()
{
    next_job();
}

std::uint64_t client::draw(std::uint64_t below)
{
    return std::uniform_int_distribution<std::uint64_t>{0, below - 1}(m_random);
}

void client::next_job()
{
    if (m_finishing)
    {
        m_idle = true;
        return;
    }
    m_job = text_of(workload::job_id{m_random()});
    m_refusals = 0;
    m_maybe_taken = false;
    m_accepted = false;
    m_cancels = draw(cancel_one_in) == 0;
    m_hasty = draw(hasty_one_in) == 0;
    m_cancels_again = m_hasty && draw(twice_one_in) == 0;
    m_cancel_begun = false;
    m_cancelled = false;
    if (m_hasty)
    {
        later(haste_pauses[draw(haste_pauses.size())], &client::begin_cancel);
    }
    submit();
}

void client::call(network::http_method method, std::string body, handler done)
{
    m_process = m_hasty ? (m_process + 1) % m_cell.processes()
                        : draw(m_cell.processes());
    m_client.call(m_cell.callers_of(m_process),
                  {method, "/q/" + m_job, m_cell.fields_of(m_account),
                   std::move(body), "application/json"},
                  deadline, std::move(done));
}

void client::later(std::chrono::milliseconds pause, void (client::*what)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait(
        [this, what](auto ec)
        {
            if (!ec)
            {
                (this->*what)();
            }
        });
}

void client::submit()
{
    m_under_way = true;
    m_seen.submit_sent(m_job);
    call(network::http_method::post,
         platform_test::job_document(cell::task_cpu, cell::task_time.count(),
                                     m_cell.first_step()),
         [this](auto const& it) { submitted(it); });
    if (m_cell.must_accept(m_process))
    {
        m_seen.must_be_accepted(m_job, std::chrono::steady_clock::now() +
                                           longest_acceptance);
    }
}

void client::submitted(network::call_result const& it)
{
    auto const answered = it.end == network::call_end::answered;
    auto const status = answered ? it.response.status : 0U;
    m_under_way = false;
    if (it.sent_before)
    {
        m_maybe_taken = true;
        m_seen.submit_repeated(m_job);
    }
    m_seen.submit_answered(m_job, status, std::chrono::steady_clock::now());
    m_accepted = status == status_ok;
    if (m_hasty)
    {
        m_cancelled ? leave_cancelled() : begin_cancel();
        return;
    }
    if (m_accepted)
    {
        later(look_pause, m_cancels ? &client::cancel : &client::look);
        return;
    }
    if (ledger::is_rejection(status))
    {
        if (status == unauthorised && !m_maybe_taken)
        {
            m_account = (m_account + 1) % cell::accounts;
            later(retry_pause, &client::next_job);
            return;
        }
        ++m_refusals;
        if (m_refusals >= most_refusals && !m_maybe_taken)
        {
            next_job();
            return;
        }
    }
    else
    {
        // Whether it was taken is not known: the same again tells.
        m_maybe_taken = true;
    }
    later(retry_pause, &client::submit);
}

/// Once for a job, whatever comes first: its time, or the end of the
/// submission.
void client::begin_cancel()
{
    if (!std::exchange(m_cancel_begun, true))
    {
        m_timer.cancel();
        cancel();
    }
}

void client::cancel()
{
    m_seen.cancel_sent(m_job);
    call(network::http_method::remove, {},
         [this](auto const& it) { cancelled(it); });
}

void client::cancelled(network::call_result const& it)
{
    if (it.end != network::call_end::answered ||
        (it.response.status != status_ok && it.response.status != gone))
    {
        later(retry_pause, &client::cancel);
        return;
    }
    m_seen.cancel_acknowledged(m_job, std::chrono::steady_clock::now());
    if (std::exchange(m_cancels_again, false))
    {
        cancel();
        return;
    }
    m_cancelled = true;
    if (!m_under_way)
    {
        leave_cancelled();
    }
}

/// A job that was not accepted need not be known.
void client::leave_cancelled()
{
    later(look_pause, m_accepted ? &client::look : &client::next_job);
}

void client::look()
{
    call(network::http_method::get, {}, [this](auto const& it) { looked(it); });
}

void client::looked(network::call_result const& it)
{
    auto const now = std::chrono::steady_clock::now();
    if (it.end != network::call_end::answered ||
        it.response.status != status_ok)
    {
        if (it.end == network::call_end::answered && it.response.status == gone)
        {
            m_seen.unknown(m_job, now);
        }
        later(retry_pause, &client::look);
        return;
    }
    auto const body =
        base::capture([&] { return json_codec::parse(it.response.body); });
    if (!body)
    {
        m_seen.found("job " + m_job +
                     " got no whole answer: " + it.response.body);
        later(retry_pause, &client::look);
        return;
    }
    auto const state = json_codec::text_or(body.value(), "state");
    m_seen.shown(m_job, state, now);
    if (state == "completed" || state == "cancelled" || state == "failed")
    {
        next_job();
        return;
    }
    later(look_pause, &client::look);
}

} // namespace berylhill::soak
