#pragma once

#include <vector>

namespace sardinecourse {

class Rack;
class Worker;

/** The workers with those of one rack next to each other; otherwise in order.
 */
std::vector<Worker>
SortByRack(std::vector<Worker> aWorkers);

/** The racks of workers that are sorted by rack. */
std::vector<Rack>
RacksOf(const std::vector<Worker>& aWorkers);

}
