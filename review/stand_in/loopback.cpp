#include "review/stand_in/loopback.h"

#include <unistd.h>

namespace review {

namespace {

constexpr int kFirstSecondByte = 64;
constexpr int kSecondBytes = 128;
constexpr unsigned kByte = 256;
constexpr unsigned kMaxLastByte = 254;

}

std::string
NextLoopbackIp()
{
  static int count = 0;
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(kFirstSecondByte + count++ % kSecondBytes) +
         "." + std::to_string(process / kMaxLastByte % kByte) + "." +
         std::to_string(1 + process % kMaxLastByte);
}

}
