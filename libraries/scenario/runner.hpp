#pragma once

#include <scenario/cell.hpp>
#include <scenario/run_report.hpp>
#include <scenario/script.hpp>
#include <scenario/workload.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace berylhill::scenario
{

class configuration_watch;

struct runner_options
{
    std::string binary;
    std::string stand_ins;
    std::string directory;
    /// Files that the script names are sought here.
    std::string files;
    std::uint64_t seed{1};
};

/// Runs a scenario against real processes. To be used by the main thread.
class runner
{
public:
    explicit runner(runner_options options);
    ~runner();

    /// Runs all statements, and holds every promise against the whole history,
    /// whether the script asks for it or not.
    [[nodiscard]] run_report run(script const& it);

private:
    void set_up(script const& it);
    void do_one(statement const& it);
    void do_operation(statement const& it);
    void do_work(statement const& it);
    void do_expect(statement const& it);
    void apply(std::vector<std::string> const& files);
    void wait_for(statement const& it, std::function<bool()> const& held);
    void miss(statement const& it, std::string const& why);
    bool in_force_everywhere();

    runner_options m_options;
    std::shared_ptr<platform::http_pool> m_pool;
    std::unique_ptr<cell> m_cell;
    std::unique_ptr<api_client> m_api;
    std::unique_ptr<workload> m_work;
    std::unique_ptr<configuration_watch> m_watch;
    run_report m_report;
    int m_batches{0};
    std::int64_t m_accepted{-1};
};

} // namespace berylhill::scenario
