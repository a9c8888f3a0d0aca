#pragma once

#include "core/name.h"

namespace sardinecourse {

using FleetName = Name<struct FleetTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RackName = Name<struct RackTag>;
using WorkerName = Name<struct WorkerTag>;
using MinionName = Name<struct MinionTag>;
using HostName = Name<struct HostTag>;
using TeamName = Name<struct TeamTag>;
using ServiceName = Name<struct ServiceTag>;
using JobKey = Name<struct JobKeyTag>;
using TaskName = Name<struct TaskTag>;
using QueueName = Name<struct QueueTag>;
using QueueAddress = Name<struct QueueAddressTag>;

}
