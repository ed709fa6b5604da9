/** The settings in INI format: parsing, validation and typed views. */
package org.acaciafold.settings;
