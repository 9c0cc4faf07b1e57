// Registry of plug-ins that register themselves at program start.
//
// How to use, in the plug-in's .cpp file:
//   static const PluginRegistration<TargetClient> registration("http", [](const NodeContext &ctx) { return std::make_unique<HttpTargetClient>(ctx); });
// and where one is needed: `auto client = makePlugin<TargetClient>("http", ctx);`
//
// Pitfall: the objects must be linked as objects, not out of an archive, or the linker drops them with their registration.
#pragma once

#include "kernel/errors.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Fescuenotch {

struct NodeContext;

template<typename Interface>
using PluginFactory = std::function<std::unique_ptr<Interface>(const NodeContext &)>;

/// The factories of one interface, by name.
template<typename Interface>
std::map<std::string, PluginFactory<Interface>> &pluginFactories()
{
    static std::map<std::string, PluginFactory<Interface>> factories;
    return factories;
}

template<typename Interface>
class PluginRegistration
{
public:
    PluginRegistration(const std::string &name, PluginFactory<Interface> factory)
    {
        pluginFactories<Interface>()[name] = std::move(factory);
    }
};

/// Makes the plug-in `name`. Error UnknownPlugin lists the names there are.
template<typename Interface>
Result<std::unique_ptr<Interface>> makePlugin(const std::string &name, const NodeContext &context)
{
    auto &factories = pluginFactories<Interface>();
    const auto it = factories.find(name);
    if (it != factories.end()) {
        return it->second(context);
    }
    std::string known;
    for (const auto &[other, factory] : factories) {
        known += known.empty() ? other : ", " + other;
    }
    return fail(ErrorKind::UnknownPlugin, "no plug-in is called '" + name + "'", "use one of: " + known);
}

} // namespace Fescuenotch
