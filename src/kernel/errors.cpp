#include "kernel/errors.h"

namespace Fescuenotch {

const char *errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSetting:
        return "invalid-setting";
    case ErrorKind::InvalidDocument:
        return "invalid-document";
    case ErrorKind::InvalidFrame:
        return "invalid-frame";
    case ErrorKind::PlatformUnavailable:
        return "platform-unavailable";
    case ErrorKind::PlatformLimited:
        return "platform-limited";
    case ErrorKind::PeerUnavailable:
        return "peer-unavailable";
    case ErrorKind::ListenFailed:
        return "listen-failed";
    case ErrorKind::UnknownPlugin:
        return "unknown-plugin";
    case ErrorKind::InvalidInput:
        return "invalid-input";
    case ErrorKind::Internal:
        return "internal";
    }
    return "unknown";
}

Error internalError(const std::exception &e)
{
    return {ErrorKind::Internal, std::string("unexpected exception: ") + e.what(), "report it as a defect with the input that caused it", {}};
}

std::string describe(const Error &error)
{
    return error.remedy.empty() ? error.what : error.what + "; " + error.remedy;
}

} // namespace Fescuenotch
