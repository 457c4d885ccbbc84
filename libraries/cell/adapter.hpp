#pragma once

#include <cell/advice_client.hpp>
#include <cell/documents.hpp>
#include <cell/instance_client.hpp>
#include <cell/job_protocol.hpp>
#include <cell/keyed_log.hpp>
#include <network/http_client.hpp>
#include <settings/cell_settings.hpp>

#include <functional>
#include <memory>

namespace berylhill::cell
{

/// The platform's services that a process of the cell uses.
struct adapter
{
    /// Records of the cell: its jobs and the owner's claim.
    std::unique_ptr<keyed_log> cell_log;
    /// The operator's configuration.
    std::unique_ptr<keyed_log> operator_log;
    /// The entries that instances write about themselves.
    std::unique_ptr<keyed_log> instance_log;
    std::unique_ptr<instance_client> orders;
    std::unique_ptr<advice_client> advice;
    std::unique_ptr<documents> decoder;
    std::unique_ptr<job_protocol> jobs;
};

using adapter_maker = std::function<adapter(network::http_client& services,
                                            network::http_client& instances,
                                            settings::cell_settings const&)>;

} // namespace berylhill::cell
