#pragma once

#include <cell/adapter.hpp>
#include <cell/advice_dispatcher.hpp>
#include <cell/answer_log.hpp>
#include <cell/call_router.hpp>
#include <cell/cell_owner.hpp>
#include <cell/configuration_propagation.hpp>
#include <cell/limit_log.hpp>
#include <cell/loop_lag.hpp>
#include <cell/node_metrics.hpp>
#include <cell/ownership.hpp>
#include <cell/peer_service.hpp>
#include <cell/processor_meter.hpp>
#include <cell/store_contact.hpp>
#include <cell/store_handover.hpp>
#include <cell/token_bucket.hpp>
#include <cell/yield_rule.hpp>
#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace berylhill::cell
{

/// Time limit for releasing ownership: enough for an append in flight.
inline constexpr base::duration release_limit = std::chrono::milliseconds{500};

/// A process of a cell: accepts client calls, watches the owner, and owns the
/// work when it succeeds. Single-threaded.
class node final : public ownership::listener,
                   public peer_service::backend,
                   public store_handover::process
{
public:
    node(settings::cell_settings settings,
         std::string settings_path,
         adapter_maker const& make);
    ~node() override;

    /// Runs until the shutdown that SIGTERM starts has finished. Fails with
    /// `unavailable` if an address cannot be bound.
    [[nodiscard]] base::result<void> run();

    // ownership::listener
    void claimed() override;
    void began(std::map<std::string, std::string> const& records,
               won_claim const& claim) override;
    void ended() override;
    [[nodiscard]] configuration_age configuration_here() const override;
    void
    on_configuration_reported(configuration_age const& it,
                              base::instant asked_at,
                              network::socket_address const& from) override;

    void on_list_end_reported(log_end_age const& it,
                              base::instant asked_at) override;

    // peer_service::backend
    [[nodiscard]] watch_answer view() const override;
    void on_owner_reported(owner_view const& it) override;
    void on_version_reported(std::int64_t version,
                             network::socket_address const& from) override;
    void on_evidence_reported(peer const& from,
                              std::optional<store_evidence> const& it) override;
    [[nodiscard]] configuration_record configuration() const override;
    [[nodiscard]] std::optional<std::string>
    compressed_configuration() override;
    [[nodiscard]] bool owns() const override;
    [[nodiscard]] bool serves() const override;
    void call_owner(job_call const& it, job_answer_handler done) override;
    void advise(advice_request const& it, advice_handler done) override;

    // store_handover::process
    [[nodiscard]] std::optional<store_trouble> trouble() const override;
    void wake_watchers() override;
    void wake_watcher(peer const& it) override;
    void on_owner_found(owner_view const& it) override;

private:
    [[nodiscard]] scheduler::policy policy() const;
    void take_job_call(network::http_request const& it,
                       network::responder answer);
    void answer_call(job_call const& call,
                     call_outcome const& end,
                     base::duration took,
                     network::responder const& answer);
    /// The newest version that this process knows of.
    [[nodiscard]] std::int64_t newest_configuration() const;
    [[nodiscard]] deciding_configuration deciding() const;
    void refuse_without_configuration(std::string const& target,
                                      network::responder const& answer);
    void refuse(std::string const& target,
                refused_request it,
                network::responder const& answer);
    [[nodiscard]] bool sure_of_configuration() const;
    [[nodiscard]] bool configuration_overdue() const;
    void note_newest(std::int64_t known, network::socket_address const& from);
    void read_configuration_later();
    void read_configuration();
    void fetch_configuration(network::socket_address const& from);
    void follow_configuration_from(std::uint64_t next);
    void confirm_configuration(network::socket_address const& from);
    /// This process as the others know it.
    [[nodiscard]] peer self() const;
    void take_readiness(network::responder const& answer);
    [[nodiscard]] std::vector<peer> others() const;
    void take_metrics(network::responder const& answer);
    [[nodiscard]] bool ready() const;
    void configuration_changed(std::string const& key,
                               std::string const& value,
                               char const* source);
    void note_old_configuration(job_call const& it) const;
    void report_unclear_accounts() const;
    void apply_limits();
    void await_signals();
    void reload();
    void watch_load();
    void watch_limits();
    [[nodiscard]] std::vector<peer> possible_owners() const;
    void yield(yield_reason why);
    [[nodiscard]] std::uint32_t replaced_owners() const;
    void stop();
    void drain();
    void flush_logs();
    [[nodiscard]] base::result<void> listen();

    class decisions_to_log;

    settings::cell_settings m_settings;
    std::string m_settings_path;
    base::system_clock m_clock;
    boost::asio::io_context m_loop;
    store_contact m_store;
    /// For the store, the advice service and the other processes.
    network::http_client m_client;
    /// For the instances that run tasks.
    network::http_client m_order_client;
    adapter m_adapter;
    std::unique_ptr<decisions_to_log> m_log;
    answer_log m_answers;
    store_latency m_latency;
    peer_client m_peers;
    ownership m_ownership;
    peer_service m_peer_service;
    store_handover m_handover;
    advice_dispatcher m_advice;
    call_router m_router;
    log_follower m_operators;
    /// Of the connections to all servers.
    std::shared_ptr<network::connection_memory> m_connection_memory{
        std::make_shared<network::connection_memory>()};
    network::http_server m_callers;
    network::http_server m_readiness;
    network::http_server m_peer_server;
    network::http_server m_metrics_server;
    std::array<limit_log, 4> m_limit_logs{{{"callers", m_callers},
                                           {"readiness", m_readiness},
                                           {"peer", m_peer_server},
                                           {"metrics", m_metrics_server}}};
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_stop_timer;
    boost::asio::steady_timer m_log_timer;
    boost::asio::steady_timer m_load_timer;
    boost::asio::steady_timer m_configuration_timer;
    loop_lag m_lag;
    processor_meter m_processor;
    node_metrics m_metrics;
    workload::cell_configuration m_configuration;
    /// The record of the configuration, for processes that cannot read the
    /// store.
    configuration_record m_configuration_record;
    /// The record, compressed; empty until it is requested.
    std::string m_compressed_configuration;
    token_bucket m_copy_budget;
    configuration_propagation m_propagation;
    /// When the log next tells what accepted work takes.
    base::instant m_next_work_report{};
    /// What the former owner knew of the instances' log.
    write_times m_list_times;
    std::unique_ptr<cell_owner> m_owner;
    /// When the claim was won; once the records are read, when that ended.
    base::instant m_owns_since{};
    base::instant m_stop_at{};
    bool m_stopping{false};
    /// Ownership is being handed to another process.
    bool m_yielding{false};
    /// See `owner_load::overloaded_owners`; counts this process too once it has
    /// handed over.
    std::uint32_t m_overloaded_owners{0};
    /// See `is_taking_over`.
    bool m_taking_over{false};
    bool m_was_ready{false};
};

} // namespace berylhill::cell
