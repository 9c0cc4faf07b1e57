#include "bench/experiment.h"

namespace Fescuenotch::Bench {

std::vector<ExperimentFactory> &experimentFactories()
{
    static std::vector<ExperimentFactory> factories;
    return factories;
}

std::unique_ptr<Experiment> makeExperiment(const std::string &name)
{
    for (const auto &factory : experimentFactories()) {
        auto experiment = factory();
        if (experiment->name() == name) {
            return experiment;
        }
    }
    return nullptr;
}

ExperimentRegistration::ExperimentRegistration(ExperimentFactory factory)
{
    experimentFactories().push_back(std::move(factory));
}

} // namespace Fescuenotch::Bench
