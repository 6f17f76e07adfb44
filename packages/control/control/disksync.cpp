#include "control/disksync.h"

#include <unistd.h>

namespace Galenabarrow::Control
{

bool SystemDiskSync::syncAll(int file)
{
    return ::fsync(file) == 0;
}

bool SystemDiskSync::syncData(int file)
{
    return ::fdatasync(file) == 0;
}

DiskSync &systemDiskSync()
{
    static SystemDiskSync sync;
    return sync;
}

}
