#include "contract/contract.h"
