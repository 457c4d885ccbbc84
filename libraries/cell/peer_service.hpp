#pragma once

#include <base/time.hpp>
#include <cell/advice_client.hpp>
#include <cell/job_call.hpp>
#include <cell/ownership.hpp>
#include <cell/peer_messages.hpp>
#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// Serves the calls of the other processes of the cell. Lives on the event
/// loop.
class peer_service
{
public:
    /// The parts of the process that the service uses.
    class backend
    {
    public:
        backend() = default;
        backend(backend const&) = delete;
        backend& operator=(backend const&) = delete;
        virtual ~backend() = default;

        [[nodiscard]] virtual watch_answer view() const = 0;
        virtual void on_owner_reported(owner_view const& it) = 0;
        /// The process at `from` reported this version of the configuration.
        virtual void
        on_version_reported(std::int64_t version,
                            network::socket_address const& from) = 0;
        /// A process that watches this one told of its contact with the store.
        virtual void
        on_evidence_reported(peer const& from,
                             std::optional<store_evidence> const& it) = 0;
        [[nodiscard]] virtual configuration_record configuration() const = 0;
        /// The configuration, compressed; nothing while other copies use up the
        /// bandwidth reserved for them.
        [[nodiscard]] virtual std::optional<std::string>
        compressed_configuration() = 0;
        /// This process is the owner, also while it reads the records.
        [[nodiscard]] virtual bool owns() const = 0;
        /// It is the owner and has read the records.
        [[nodiscard]] virtual bool serves() const = 0;
        /// Precondition: `serves()`.
        virtual void call_owner(job_call const& it,
                                job_answer_handler done) = 0;
        virtual void advise(advice_request const& it, advice_handler done) = 0;
    };

    peer_service(boost::asio::io_context& loop,
                 base::clock const& clock,
                 backend& behind);
    peer_service(peer_service const&) = delete;
    peer_service& operator=(peer_service const&) = delete;
    ~peer_service();

    void handle(network::http_request const& it, network::responder answer);

    /// Answers all open watches now, because something has changed.
    void wake();

    /// Answers the open watch of one process.
    void wake(peer const& it);

    /// The processes that watch this one now.
    [[nodiscard]] std::vector<peer> watchers() const;

private:
    struct open_watch
    {
        network::responder answer;
        base::instant until;
        watch_request from;
    };

    void watch(network::http_request const& it, network::responder answer);
    void configuration(network::http_request const& it,
                       network::responder const& answer);
    void job(network::http_request const& it, network::responder answer);
    void advise(network::http_request const& it, network::responder answer);
    void owner(network::http_request const& it, network::responder answer);
    [[nodiscard]] network::http_response
    watch_response(watch_request const& to);
    void refresh_watchers();
    [[nodiscard]] base::duration watcher_lifetime() const;
    void every_tick();

    boost::asio::io_context& m_loop;
    base::clock const& m_clock;
    backend& m_backend;
    boost::asio::steady_timer m_timer;
    std::list<open_watch> m_watches;
    std::map<peer, base::instant> m_seen;
    peer_list m_list;
    base::instant m_next_list{};
};

} // namespace berylhill::cell
