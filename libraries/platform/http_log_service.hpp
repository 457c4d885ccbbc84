#pragma once

#include <platform/http_pool.hpp>
#include <platform/log_service.hpp>

#include <memory>
#include <string>

namespace berylhill::platform
{

/// The platform's log over HTTP; see docs/PLATFORM.md. Thread-safe.
class http_log_service final : public log_service
{
public:
    /// Precondition: `address` is `IP:port`, `pool` is not null. `timeout`
    /// bounds an append, and a read beyond the time that it may wait.
    http_log_service(std::shared_ptr<http_pool> pool,
                     std::string address,
                     base::duration timeout);

    [[nodiscard]] base::result<std::int64_t>
    append(std::string const& stream, std::string const& body) override;
    [[nodiscard]] base::result<log_page> read(std::string const& stream,
                                              std::int64_t from,
                                              std::int32_t most,
                                              base::duration wait) override;

private:
    std::shared_ptr<http_pool> m_pool;
    std::string m_address;
    base::duration m_timeout;
};

} // namespace berylhill::platform
