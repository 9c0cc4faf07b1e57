// `fescuenotch node --adapter NAME`: a node whose settings, configuration and targets come through a platform's adapter.
#pragma once

#include <string>
#include <vector>

namespace Fescuenotch {

bool namesAdapter(const std::vector<std::string> &args);
int runMeshNode(const std::vector<std::string> &args);

} // namespace Fescuenotch
