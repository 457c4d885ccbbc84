#pragma once

#include <scenario/api_client.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace berylhill::scenario
{

/// Asks every entry again and again which configuration is in force there, so
/// that the journal shows when it came and that it never went back.
class configuration_watch
{
public:
    configuration_watch(api_client& api, balancer& entries);
    ~configuration_watch();
    configuration_watch(configuration_watch const&) = delete;
    configuration_watch& operator=(configuration_watch const&) = delete;

private:
    void run();

    api_client& m_api;
    balancer& m_entries;
    std::mutex m_mutex;
    std::condition_variable m_stop;
    bool m_stopping{false};
    std::thread m_thread;
};

} // namespace berylhill::scenario
