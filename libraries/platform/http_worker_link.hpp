#pragma once

#include <platform/http_pool.hpp>
#include <platform/worker_link.hpp>

#include <memory>

namespace berylhill::platform
{

/// Workers over HTTP; see docs/PLATFORM.md. Thread-safe.
class http_worker_link final : public worker_link
{
public:
    /// Precondition: `pool` is not null.
    explicit http_worker_link(std::shared_ptr<http_pool> pool);

    [[nodiscard]] base::result<worker_answer>
    exchange(model::endpoint const& worker,
             worker_request const& request,
             base::duration timeout) override;

private:
    std::shared_ptr<http_pool> m_pool;
};

} // namespace berylhill::platform
