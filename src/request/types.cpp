#include "request/types.h"

#include <array>
#include <cstddef>

namespace Fescuenotch {

namespace {

struct ReasonText {
    Reason reason;
    const char *name;
    const char *remedy;
};

constexpr std::array ReasonTexts{
    ReasonText{Reason::None, "none", "nothing to do"},
    ReasonText{Reason::NoProfile, "no-profile", "wait until /readyz of this node says ready, or publish the profile that its service follows"},
    ReasonText{Reason::NoRoute, "no-route", "correct the path or method, or publish a profile with a route for it"},
    ReasonText{Reason::NoTarget, "no-target", "retry later; if it lasts, check the targets in the service document and their hosts"},
    ReasonText{Reason::ViewNotTrusted, "view-not-trusted", "retry at once, at another node if there is one; this node was paused and refreshes its view"},
    ReasonText{Reason::Leaving, "leaving", "retry at another node; this one or its target is leaving"},
    ReasonText{Reason::QueueFull, "queue-full", "retry after the time in Retry-After, or add targets to the service"},
    ReasonText{Reason::WaitTooLong, "wait-too-long", "retry after the time in Retry-After, or allow a longer deadline"},
    ReasonText{Reason::ClassLimit, "class-limit", "retry after the time in Retry-After; this class uses all of its share of the target"},
    ReasonText{Reason::TargetShed, "target-shed", "retry after the time in Retry-After; the target sheds load or drains"},
    ReasonText{Reason::ConnectFailed, "connect-failed", "retry later; if it lasts, check that the target listens at its address"},
    ReasonText{Reason::DeadlinePassed, "deadline-passed", "allow a longer deadline or look for the slow target"},
    ReasonText{Reason::Cancelled, "cancelled", "send the request again if it is still wanted"},
    ReasonText{Reason::LinkLost, "link-lost", "check whether the request took effect before it is sent again; look at the link to the target's host"},
    ReasonText{Reason::TargetBroke, "target-broke", "check whether the request took effect before it is sent again; look at the target's log"},
    ReasonText{Reason::AttemptsUsed, "attempts-used", "retry after the time in Retry-After; the attempts that the rule allows are used up"},
    ReasonText{Reason::BudgetEmpty, "budget-empty", "retry after the time in Retry-After; the service's retry budget is used up"},
    ReasonText{Reason::BadRequest, "bad-request", "correct the request"},
    ReasonText{Reason::TooLarge, "too-large", "send a smaller request"},
    ReasonText{Reason::WrongHost, "wrong-host", "retry; if it lasts, check the host of the target in the service document"},
    ReasonText{Reason::TargetLimit, "target-limit", "retry after the time in Retry-After; the target limits the requests that it takes"},
    ReasonText{Reason::Quarantined, "quarantined", "do not send it again; targets that ran the same request ended"},
    ReasonText{Reason::Evacuated, "evacuated", "retry after the time in Retry-After; delete the evacuation of a data centre that has targets of the service"},
    ReasonText{Reason::TargetCold, "target-cold", "retry after the time in Retry-After; the target has just started and takes few requests"},
    ReasonText{Reason::TargetHung, "target-hung", "check whether the request took effect before it is sent again; lower the slots that the target states"},
    ReasonText{Reason::MemoryFull, "memory-full", "retry after the time in Retry-After; callers read their answers too slowly, or the host needs more memory"},
};

constexpr bool matchesEnumOrder()
{
    for (std::size_t n = 0; n < ReasonTexts.size(); ++n) {
        if (static_cast<std::size_t>(ReasonTexts[n].reason) != n) {
            return false;
        }
    }
    return true;
}
static_assert(matchesEnumOrder(), "ReasonTexts needs one entry per Reason, in the order of the enum");

const ReasonText &textOf(Reason reason)
{
    return ReasonTexts[static_cast<std::size_t>(reason)];
}

} // namespace

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

const char *reasonName(Reason reason)
{
    return textOf(reason).name;
}

const char *reasonRemedy(Reason reason)
{
    return textOf(reason).remedy;
}

std::vector<Reason> allReasons()
{
    std::vector<Reason> all;
    all.reserve(ReasonTexts.size());
    for (const auto &text : ReasonTexts) {
        all.push_back(text.reason);
    }
    return all;
}

} // namespace Fescuenotch
