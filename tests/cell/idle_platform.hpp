#pragma once

#include <cell/cell_owner.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::cell_test
{

/// Instances that give no answer.
class no_instances : public cell::instance_client
{
public:
    void start(cell::order_target const&,
               scheduler::start_order const&,
               base::duration,
               cell::start_handler) override
    {
    }
    void stop(cell::order_target const&,
              scheduler::attempt_name const&,
              base::duration,
              cell::order_handler) override
    {
    }
    void hold(cell::order_target const&,
              scheduler::hold_order const&,
              base::duration,
              cell::hold_handler) override
    {
    }
};

/// An advice service that gives no answer.
class no_advice final : public cell::advice_client
{
public:
    void ask(workload::step_name const&,
             std::vector<std::string> const&,
             base::duration,
             cell::advice_handler) override
    {
    }
};

/// Entries and configurations that say nothing.
class no_documents final : public cell::documents
{
public:
    [[nodiscard]] base::result<std::optional<workload::cell_configuration>>
    configuration(std::string_view, std::string_view) const override
    {
        return std::optional<workload::cell_configuration>{};
    }
    [[nodiscard]] std::string instance_id(std::string_view key) const override
    {
        return std::string{key};
    }
    [[nodiscard]] base::result<scheduler::instance_info>
    instance(std::string_view key, std::string_view) const override
    {
        scheduler::instance_info out;
        out.id = std::string{key};
        out.service = "service";
        out.address = "127.0.0.1:1";
        return out;
    }
};

/// A log that nobody reads.
class no_log final : public scheduler::decision_log
{
public:
    void write(base::log_level,
               std::string_view,
               std::initializer_list<base::log_field>) override
    {
    }
};

} // namespace berylhill::cell_test
