// Comparison of two record stores by hashed buckets of keys, so that equal stores cost one hash and small
// differences cost few keys.
//
// How to use: each side computes `recordBuckets`; `differing` names the buckets to list; `keysOf` lists them;
// `lacking` then says which keys the left side must pull and which the right side lacks.
#pragma once

#include "spread/messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Fescuenotch {

std::uint8_t recordBucketOf(const std::string &key);
/// One hash per bucket; the order of `versions` has no influence.
std::vector<std::uint32_t> recordBuckets(const std::vector<KeyVersions> &versions);
/// Buckets that differ; lists of unequal length differ everywhere.
std::vector<std::uint8_t> differing(const std::vector<std::uint32_t> &a, const std::vector<std::uint32_t> &b);
std::vector<KeyVersions> keysOf(const std::vector<KeyVersions> &versions, const std::vector<std::uint8_t> &buckets);
/// Keys of `theirs` of which a newer record, newest or newest valid, is held there than in `ours`.
std::vector<std::string> lacking(const std::vector<KeyVersions> &ours, const std::vector<KeyVersions> &theirs);

} // namespace Fescuenotch
