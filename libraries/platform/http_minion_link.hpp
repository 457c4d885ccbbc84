#pragma once

#include <platform/http_pool.hpp>
#include <platform/minion_link.hpp>

#include <memory>

namespace berylhill::platform
{

/// Minions over HTTP; see docs/PLATFORM.md. Thread-safe.
class http_minion_link final : public minion_link
{
public:
    /// Precondition: `pool` is not null.
    explicit http_minion_link(std::shared_ptr<http_pool> pool);

    [[nodiscard]] base::result<minion_answer>
    call(model::endpoint const& minion,
         minion_call const& call,
         base::duration timeout) override;
    [[nodiscard]] base::result<base::done>
    ping(model::endpoint const& minion, base::duration timeout) override;

private:
    std::shared_ptr<http_pool> m_pool;
};

} // namespace berylhill::platform
