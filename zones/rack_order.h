#pragma once

#include <vector>

namespace sardinecourse {

class Rack;
class Worker;

/** Sorts the workers by rack name; the order within a rack is kept.
 */
std::vector<Worker>
SortByRack(std::vector<Worker> aWorkers);

/** The racks of a list of workers that is sorted by rack. */
std::vector<Rack>
RacksOf(const std::vector<Worker>& aWorkers);

}
