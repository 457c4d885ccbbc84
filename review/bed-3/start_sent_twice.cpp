#include "bed.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <utility>

namespace berylhill::review
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

/// `applied_late` carries an order out 2 to 12 s later.
constexpr milliseconds order_delay{4'000};

constexpr milliseconds work{10'000};

constexpr milliseconds client_limit{3'000};

/// For how long two runs are looked for.
constexpr milliseconds watch_time{20'000};

/// Lies between the processes and an instance, and passes bytes on. Once, it
/// loses the answer of a start: the connection ends without one, and the order
/// reaches the instance later.
class late_start_link
{
public:
    late_start_link(bed& on, std::size_t instance, std::uint16_t at)
        : m_bed{on}
        , m_instance{instance}
        , m_acceptor{on.loop, endpoint(at)}
        , m_timer{on.loop}
    {
        accept();
    }

    /// Whether the next start is lost and carried out late.
    void set_armed(bool it)
    {
        m_armed = it;
    }

    [[nodiscard]] bool lost_one() const noexcept
    {
        return m_lost_one;
    }

    /// The instance crashes, and is back at once under its id.
    void crash()
    {
        auto& it = *m_bed.instances[m_instance];
        m_bed.note(it.id() + " crashes and starts again under its id");
        it.restart(it.id());
        for (auto const& known : m_connections)
        {
            if (auto const at = known.lock())
            {
                at->close();
            }
        }
        m_connections.clear();
    }

private:
    /// A connection of a process, and the one to the instance that belongs to
    /// it.
    struct pair
    {
        explicit pair(asio::io_context& loop, tcp::socket from)
            : caller{std::move(from)}
            , called{loop}
        {
        }

        void close()
        {
            boost::system::error_code ec;
            caller.close(ec);
            called.close(ec);
        }

        tcp::socket caller;
        tcp::socket called;
        std::array<char, 16'384> asked{};
        std::array<char, 16'384> answered{};
        std::size_t requests{0};
    };

    using pair_pointer = std::shared_ptr<pair>;

    static tcp::endpoint endpoint(std::uint16_t port)
    {
        return {asio::ip::make_address_v4("127.0.0.1"), port};
    }

    void accept()
    {
        m_acceptor.async_accept(
            [this](auto ec, tcp::socket socket)
            {
                if (ec == asio::error::operation_aborted)
                {
                    return;
                }
                if (!ec)
                {
                    begin(
                        std::make_shared<pair>(m_bed.loop, std::move(socket)));
                }
                accept();
            });
    }

    void begin(pair_pointer const& it)
    {
        m_connections.push_back(it);
        it->called.async_connect(endpoint(m_bed.port_of_instance(m_instance)),
                                 [this, it](auto ec)
                                 {
                                     if (ec)
                                     {
                                         it->close();
                                         return;
                                     }
                                     pass_requests(it);
                                     pass_answers(it);
                                 });
    }

    void pass_requests(pair_pointer const& it)
    {
        it->caller.async_read_some(
            asio::buffer(it->asked),
            [this, it](auto ec, std::size_t n)
            {
                if (ec)
                {
                    it->close();
                    return;
                }
                std::string const bytes{it->asked.data(), n};
                ++it->requests;
                if (m_armed && bytes.starts_with("POST /api/run-start"))
                {
                    lose(it, bytes);
                    return;
                }
                asio::async_write(it->called, asio::buffer(it->asked, n),
                                  [this, it](auto failed, std::size_t) {
                                      failed ? it->close() : pass_requests(it);
                                  });
            });
    }

    void pass_answers(pair_pointer const& it)
    {
        it->called.async_read_some(
            asio::buffer(it->answered),
            [this, it](auto ec, std::size_t n)
            {
                if (ec)
                {
                    it->close();
                    return;
                }
                asio::async_write(it->caller, asio::buffer(it->answered, n),
                                  [this, it](auto failed, std::size_t)
                                  { failed ? it->close() : pass_answers(it); });
            });
    }

    void lose(pair_pointer const& it, std::string const& request)
    {
        m_armed = false;
        m_lost_one = true;
        m_bed.note(m_bed.instances[m_instance]->id() +
                   " gives no answer to a start, and carries it out later; "
                   "its connection ends (request " +
                   std::to_string(it->requests) +
                   " on it): " + request.substr(request.rfind('\n') + 1));
        it->close();
        m_timer.expires_after(order_delay);
        m_timer.async_wait(
            [this, request](auto ec)
            {
                if (!ec)
                {
                    deliver(request);
                }
            });
    }

    void deliver(std::string const& request)
    {
        m_bed.note("the late start is carried out");
        auto const to =
            std::make_shared<pair>(m_bed.loop, tcp::socket{m_bed.loop});
        auto const bytes = std::make_shared<std::string>(request);
        to->called.async_connect(
            endpoint(m_bed.port_of_instance(m_instance)),
            [this, to, bytes](auto ec)
            {
                if (ec)
                {
                    return;
                }
                asio::async_write(to->called, asio::buffer(*bytes),
                                  [this, to, bytes](auto failed, std::size_t)
                                  {
                                      if (!failed)
                                      {
                                          read_late_answer(to);
                                      }
                                  });
            });
    }

    void read_late_answer(pair_pointer const& from)
    {
        from->called.async_read_some(
            asio::buffer(from->answered),
            [this, from](auto ec, std::size_t n)
            {
                if (!ec)
                {
                    std::string const all{from->answered.data(), n};
                    m_bed.note("its answer, for which nobody waits: " +
                               all.substr(0, all.find('\r')) + " " +
                               all.substr(all.rfind('\n') + 1));
                }
            });
    }

    bed& m_bed;
    std::size_t m_instance;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::list<std::weak_ptr<pair>> m_connections;
    bool m_armed{false};
    bool m_lost_one{false};
};

using links = std::vector<std::unique_ptr<late_start_link>>;

/// The link that has lost a start; null while none has.
late_start_link* link_that_lost(links const& all)
{
    auto const at = std::ranges::find_if(all, [](auto const& it)
                                         { return it->lost_one(); });
    return at == all.end() ? nullptr : at->get();
}

} // namespace

verdict start_sent_twice(std::filesystem::path const& folder)
{
    constexpr std::size_t instance_count = 2;
    constexpr unsigned ok = 200;
    bed it{folder, instance_count, milliseconds{300}};
    links between;
    for (std::size_t n = 0; n < it.instances.size(); ++n)
    {
        auto const port = it.spare_port();
        between.push_back(std::make_unique<late_start_link>(it, n, port));
        it.announce_at(n, port);
    }
    it.begin();
    it.wait(milliseconds{2'000});
    // One task on each instance, so that each has had a start.
    std::string const second = "00000000000000d1";
    if (it.submit(0, "q", second, {{300, -1, 2, 1}}) != ok ||
        !it.wait_until(
            [&] {
                return it.done(second + ".0.0.0") && it.done(second + ".0.0.1");
            },
            work))
    {
        throw not_runnable{"the second job was not carried out"};
    }
    it.wait(milliseconds{1'500});
    for (auto const& each : it.instances)
    {
        each->set_work(work);
    }
    for (auto const& each : between)
    {
        each->set_armed(it.trouble());
    }
    std::string const job = "00000000000000d2";
    auto const task = job + ".0.0.0";
    if (it.submit(1, "q", job, {{work.count()}}) != ok)
    {
        throw not_runnable{"the job was not accepted"};
    }
    it.wait_until([&] { return it.begun(task); }, client_limit);
    for (auto const& each : between)
    {
        each->set_armed(false);
    }
    it.wait(milliseconds{1'000});
    if (auto* const lost = link_that_lost(between); lost != nullptr)
    {
        lost->crash();
    }
    auto const twice =
        it.wait_until([&] { return it.runs_on(task).size() > 1; }, watch_time);
    if (twice)
    {
        std::string where;
        for (auto const& each : it.runs_on(task))
        {
            where += " " + each;
        }
        it.note("BROKEN: two runs of " + task + " at the same time, on" +
                where);
        it.wait(milliseconds{3'000});
        return verdict::broken;
    }
    it.note("held: never two runs of the task at the same time");
    return verdict::held;
}

} // namespace berylhill::review
