#pragma once

#include <string_view>

/// HTTP paths of the calls between the processes of a cell.
namespace berylhill::cell::peer_paths
{

inline constexpr std::string_view watch = "/v1/peer/watch";
inline constexpr std::string_view owner = "/v1/peer/owner";
inline constexpr std::string_view job = "/v1/peer/job";
inline constexpr std::string_view configuration = "/v1/peer/configuration";
inline constexpr std::string_view advise = "/v1/peer/advise";

/// Status of an answer: the process is busy and has done nothing; it may serve
/// a later request.
inline constexpr unsigned status_busy = 429;

/// Header fields that negotiate a compressed body.
inline constexpr char const* accept_encoding = "Accept-Encoding";
inline constexpr char const* content_encoding = "Content-Encoding";
inline constexpr char const* compressed_encoding = "deflate";

} // namespace berylhill::cell::peer_paths
