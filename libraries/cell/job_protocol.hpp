#pragma once

#include <cell/job_call.hpp>
#include <network/http_message.hpp>
#include <workload/cell_configuration.hpp>

#include <variant>

namespace berylhill::cell
{

/// What clients of jobs send and are sent. Pure; thread-safe.
class job_protocol
{
public:
    job_protocol() = default;
    job_protocol(job_protocol const&) = delete;
    job_protocol& operator=(job_protocol const&) = delete;
    virtual ~job_protocol() = default;

    /// The call that a request makes, or the answer where it makes none.
    [[nodiscard]] virtual std::variant<job_call, network::http_response>
    decode(network::http_request const& it,
           workload::cell_configuration const& configuration) const = 0;

    [[nodiscard]] virtual network::http_response
    encode(job_call const& call, job_answer const& answer) const = 0;
};

} // namespace berylhill::cell
