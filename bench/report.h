// The report: a plot for each PlotSpec of each experiment that has results, the tables, and a page that shows them.
#pragma once

#include "bench/experiment.h"
#include "bench/svgplot.h"

#include <string>
#include <vector>

namespace Fescuenotch::Bench {

/// Means over repeats; the conditions other than x name the series. No series when the phase has no measurement.
Plot makePlot(const PlotSpec &spec, const std::vector<Measurement> &measurements);

/// Reads FOLDER/NAME.jsonl of each experiment, writes FOLDER/*.svg and FOLDER/index.html. Error InvalidInput.
Result<void> writeReport(const std::string &folder);

} // namespace Fescuenotch::Bench
